import type {Work} from './work.js';

/** Index of all work in flight that is known here, by endpoint and member. */
export interface WorkIndex {
  add(work: Work): void;
  markDecoding(member: string, id: number): void;
  remove(member: string, id: number): void;
  /** Replaces all work of a gateway. */
  replace(member: string, works: Work[]): void;
  /** Work that uses an endpoint, as main endpoint or as helper. */
  onEndpoint(endpoint: string): Iterable<Work>;
  ofMember(member: string): Iterable<Work>;
}

/**
 * Creates an empty index.
 * @param onAdded called with all work that is heard of
 */
export function createWorkIndex(
  onAdded: (work: Work) => void = () => undefined,
): WorkIndex {
  const byMember = new Map<string, Map<number, Work>>();
  const byEndpoint = new Map<string, Set<Work>>();

  function add(work: Work): void {
    remove(work.member, work.id);
    onAdded(work);
    const works = byMember.get(work.member) ?? new Map<number, Work>();
    works.set(work.id, work);
    byMember.set(work.member, works);
    for (const endpoint of [work.main, ...work.helpers]) {
      const endpointWork = byEndpoint.get(endpoint) ?? new Set();
      endpointWork.add(work);
      byEndpoint.set(endpoint, endpointWork);
    }
  }

  function remove(member: string, id: number): void {
    const works = byMember.get(member);
    const work = works?.get(id);
    if (!works || !work) return;
    works.delete(id);
    if (works.size === 0) byMember.delete(member);
    for (const endpoint of [work.main, ...work.helpers]) {
      const endpointWork = byEndpoint.get(endpoint);
      endpointWork?.delete(work);
      if (endpointWork?.size === 0) byEndpoint.delete(endpoint);
    }
  }

  function replace(member: string, works: Work[]): void {
    const kept = new Set(works.map(({id}) => id));
    for (const {id} of [...ofMember(member)]) {
      if (!kept.has(id)) remove(member, id);
    }
    for (const work of works) {
      const known = byMember.get(member)?.get(work.id);
      if (!known) add(work);
      else if (work.decoding) known.decoding = true;
    }
  }

  function ofMember(member: string): Iterable<Work> {
    return byMember.get(member)?.values() ?? [];
  }

  return {
    add,
    markDecoding: (member, id) => {
      const work = byMember.get(member)?.get(id);
      if (work) work.decoding = true;
    },
    remove,
    replace,
    onEndpoint: endpoint => byEndpoint.get(endpoint) ?? [],
    ofMember,
  };
}
