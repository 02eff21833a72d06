import type {Route} from './route.js';

/** Whether a request of a route may run more than once. */
export function isRepeatable({
  kind,
  resumable,
}: Pick<Route, 'kind' | 'resumable'>): boolean {
  switch (kind) {
    case 'idempotent':
      return true;
    case 'non_idempotent':
      return false;
    case 'stream':
      return resumable;
  }
}
