import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fuzzRuns} from '../mocks/fuzz_runs.js';
import fc from 'fast-check';
import {streamRoute} from '../mocks/gateway_parts.js';
import type {Route} from './route.js';
import {createRouteTable} from './route_table.js';

const SEGMENTS = fc.constantFrom('a', 'b', 'ab', '');
const PATHS = fc
  .array(SEGMENTS, {maxLength: 4})
  .map(parts => `/${parts.join('/')}`);
const PREFIXES = PATHS.map(path => (path.endsWith('/') ? path : `${path}/`));

function routesAt(prefixes: string[]): Route[] {
  return prefixes.map(prefix => streamRoute({prefix}));
}

test('the longest prefix of the same host wins', () => {
  const table = createRouteTable([
    ...routesAt(['/', '/a/', '/a/b/']),
    streamRoute({host: 'other.example', prefix: '/a/b/c/'}),
  ]);
  assert.equal(table.find('llm.example', '/a/b/c/d')?.prefix, '/a/b/');
  assert.equal(table.find('llm.example', '/ab')?.prefix, '/');
  assert.equal(table.find('none.example', '/a/'), undefined);
});

test('the index finds the same route as a linear search', () => {
  fc.assert(
    fc.property(fc.array(PREFIXES, {maxLength: 8}), PATHS, (prefixes, path) => {
      const routes = routesAt(prefixes);
      const expected = prefixes
        .filter(prefix => path.startsWith(prefix))
        .sort((a, b) => b.length - a.length)[0];
      const found = createRouteTable(routes).find('llm.example', path);
      assert.equal(found?.prefix, expected);
    }),
    fuzzRuns(500),
  );
});
