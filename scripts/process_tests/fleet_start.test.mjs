import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';
import {test} from 'node:test';
import {isFree} from '../fleet/free_port.mjs';
import {startGatewayFleet} from '../fleet/gateway_fleet.mjs';

const IPS = ['127.0.0.2', '127.0.0.3'];

// Fleets of other test files listen on the same addresses: a port that is
// free on the first may be in use on the next.
test('a port counts as free only if it is free on every address, TCP and UDP', async t => {
  const tcp = createServer();
  await new Promise(resolve => tcp.listen(0, IPS[1], resolve));
  t.after(() => tcp.close());
  const udp = createSocket('udp4');
  await new Promise(resolve => udp.bind(0, IPS[1], resolve));
  t.after(() => udp.close());
  assert.equal(await isFree(IPS.slice(0, 1), tcp.address().port), true);
  assert.equal(await isFree(IPS, tcp.address().port), false);
  assert.equal(await isFree(IPS, udp.address().port), false);
});

// Gateways that keep running after one of them exits at start would hold up
// the test runner until CI times out.
test('a fleet that fails to start reports the cause and leaves no process', async () => {
  await assert.rejects(
    startGatewayFleet({storeAddress: 'no-address'}),
    /gateway-1-0 ended at start with .*store/s,
  );
});
