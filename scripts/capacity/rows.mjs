import {customerRow, endpointRow} from '../../packages/core/dist/mocks/rows.js';

const hash = i => i.toString(16).padStart(64, '0');

export function customers(count, limits = {}) {
  return Array.from({length: count}, (_, i) =>
    customerRow({name: `customer-${i}`, keyHashes: [hash(i)], ...limits}),
  );
}

export function endpoints(count) {
  return Array.from({length: count}, (_, i) =>
    endpointRow({
      name: `engine-${i}`,
      url: `http://127.0.0.1:${10_000 + i}`,
      failureDomain: `domain-${i % 6}`,
    }),
  );
}
