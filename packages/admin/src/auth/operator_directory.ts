import type {KeyEntry} from './key_entry.js';
import type {Operator} from './operator.js';
import type {OperatorRole} from './operator_role.js';

/** Finds operators by the hash of their key. */
export interface OperatorDirectory {
  find(keyHash: string | undefined): Operator | undefined;
}

/** Creates a directory; a key listed under several roles has the highest. */
export function createOperatorDirectory(
  keys: Record<OperatorRole, KeyEntry[]>,
): OperatorDirectory {
  const byHash = new Map<string, Operator>();
  for (const role of ['reader', 'operator', 'editor'] as const) {
    for (const {name, hash} of keys[role]) byHash.set(hash, {name, role});
  }
  return {
    find: hash => (hash === undefined ? undefined : byHash.get(hash)),
  };
}
