import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseSettings} from './parse_settings.js';
import {address, integer} from './setting_kinds.js';

const DEFINITION = {
  http: {
    listen: address({help: 'Address to listen on.'}),
    max_body_mb: integer(1, 64, {help: 'Largest body.', fallback: '16'}),
  },
};

test('a faulty value is reported with section, key and allowed values', () => {
  const result = parseSettings(
    DEFINITION,
    '[http]\nlisten = nowhere\nmax_body_mb = 900\nport = 1\n',
    'router.ini',
  );
  assert.ok(!result.ok);
  const keys = result.val.map(err => `${err.section}.${err.key}`).sort();
  assert.deepEqual(keys, ['http.listen', 'http.max_body_mb', 'http.port']);
  assert.ok(result.val.every(err => err.allowed !== ''));
});

test('a missing key takes its default', () => {
  const result = parseSettings(
    DEFINITION,
    '[http]\nlisten = 127.0.0.1:0\n',
    'router.ini',
  );
  assert.ok(result.ok);
  assert.equal(result.val.http.max_body_mb, 16);
});
