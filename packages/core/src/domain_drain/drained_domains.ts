import type {DomainDrainChange} from './domain_drain_change.js';

/** Bounds what records of other writers add to messages between gateways. */
const MAX_DRAINED_DOMAINS = 32;

/** Failure domains that the operator drains, as of an offset of the store. */
export interface DrainedDomains {
  /**
   * Applies the changes of the records between two offsets, older ones left
   * out.
   * @returns false if records before `fromOffset` are missing
   */
  apply(
    changes: readonly DomainDrainChange[],
    fromOffset: number,
    nextOffset: number,
  ): boolean;
  /** Replaces the set, unless `nextOffset` is older than what is known. */
  replaceAll(domains: readonly string[], nextOffset: number): void;
  has(domain: string): boolean;
  /** Sorted names; undefined before anything is known. */
  list(): string[] | undefined;
}

/** Creates a set of which nothing is known. */
export function createDrainedDomains(): DrainedDomains {
  const drained = new Set<string>();
  /** Offset of the first record that is not known. */
  let position: number | undefined;

  function apply(
    changes: readonly DomainDrainChange[],
    fromOffset: number,
    nextOffset: number,
  ): boolean {
    if (position === undefined || fromOffset > position) return false;
    for (const {domain, offset, drained: isDrained} of changes) {
      if (offset < position) continue;
      if (isDrained) add(domain);
      else drained.delete(domain);
    }
    position = Math.max(position, nextOffset);
    return true;
  }

  function add(domain: string): void {
    if (drained.size < MAX_DRAINED_DOMAINS) drained.add(domain);
  }

  return {
    apply,
    replaceAll: (domains, nextOffset) => {
      if (position !== undefined && nextOffset < position) return;
      position = nextOffset;
      drained.clear();
      for (const domain of domains) add(domain);
    },
    has: domain => drained.has(domain),
    list: () => (position === undefined ? undefined : [...drained].sort()),
  };
}
