import {Buffer} from 'node:buffer';
import {createEndpointDirectory} from '../../packages/core/dist/endpoints/create_endpoint_directory.js';
import {recordedContext} from '../../packages/core/dist/mocks/router_context.js';
import {createPrefixIndex} from '../../packages/core/dist/routing/prefix_index.js';
import {endpoints} from './rows.mjs';
import {heapOf} from './usage.mjs';

/** Measures the heap of a full prefix index by number of engines. */
export function measurePrefix() {
  const entries = 2_048;
  console.table(
    [17, 100, 600].map(count => {
      const directory = createEndpointDirectory();
      const ctx = recordedContext();
      directory.syncRows(ctx, endpoints(count));
      const {built: index, bytes} = heapOf(() => {
        const fresh = createPrefixIndex(directory);
        for (let engine = 0; engine < count; engine++) {
          const added = Array.from({length: entries}, (_, i) =>
            Buffer.from(`${engine}-${i}`).toString('hex').padStart(32, '0'),
          );
          const event = {
            kind: 'cache_events',
            endpoint: `engine-${engine}`,
            incarnation: 'first',
            firstSequence: 1,
            lastSequence: 1,
            full: true,
            added,
            removed: [],
          };
          fresh.handlers.cache_events(recordedContext(), event);
        }
        return fresh;
      });
      return {
        engines: count,
        entries: index.size(),
        'heap KB': Math.round(bytes / 1_000),
        'bytes per entry': Math.round(bytes / index.size()),
      };
    }),
  );
}
