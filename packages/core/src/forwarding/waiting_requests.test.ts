// Guards against a count that goes through all requests for each request: the
// event loop stood still for seconds while some thousand of them waited.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {fuzzRuns} from '../mocks/fuzz_runs.js';
import type {ForwardedRequest} from './forwarded_request.js';
import {createWaitingRequests} from './waiting_requests.js';

const SERVICES = ['llm', 'app'];

function request(service: string): ForwardedRequest {
  return {service, nextCapacityCheckMs: undefined} as ForwardedRequest;
}

test('the count is that of the requests that wait, in any order of events', () => {
  const event = fc.record({request: fc.nat(5), waits: fc.boolean()});
  fc.assert(
    fc.property(fc.array(event), events => {
      const waiting = createWaitingRequests();
      const requests = Array.from({length: 6}, (_, i) =>
        request(SERVICES[i % 2] ?? ''),
      );
      for (const {request: i, waits} of events) {
        const req = requests[i]!;
        if (waits) waiting.wait(req, i);
        else waiting.leave(req);
      }
      for (const service of SERVICES) {
        const expected = requests.filter(
          req =>
            req.service === service && req.nextCapacityCheckMs !== undefined,
        );
        assert.equal(waiting.count(service), expected.length);
      }
    }),
    fuzzRuns(200),
  );
});
