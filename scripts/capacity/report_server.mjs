// Serves load reports from a separate process, whose CPU time is not counted.
import {once} from 'node:events';
import {createServer} from 'node:http';
import process from 'node:process';
import {endpointReport} from '../../packages/core/dist/mocks/endpoint_report.js';

function sessions(count) {
  return Array.from({length: count}, (_, i) => ({
    id: `session-${'f'.repeat(16)}-${i}`,
    kind: 'stream',
    owner: '10.0.0.1:7001#1700000000000',
    reqId: `req-${'f'.repeat(32)}`,
    tokens: 4_000,
    ageMs: 1_000,
  }));
}

const report = endpointReport({sessions: sessions(16)});
delete report.kind;
delete report.endpoint;
const body = JSON.stringify(report);
const server = createServer((_req, res) => res.end(body));
server.listen(0, '127.0.0.1');
await once(server, 'listening');
process.send({port: server.address().port, bytes: body.length});
process.once('disconnect', () => process.exit(0));
