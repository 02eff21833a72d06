import type {Work} from './work.js';

/** All work in flight that this gateway knows of, by endpoint. */
export interface WorkIndex {
  add(work: Work): void;
  markDecoding(member: string, work: number): void;
  remove(member: string, work: number): void;
  /** Replaces everything that is known of a gateway's work. */
  replace(member: string, works: Work[]): void;
  /** Work that an endpoint has, as main endpoint or as helper. */
  onEndpoint(endpoint: string): Iterable<Work>;
  ofMember(member: string): Iterable<Work>;
}

/** Creates an empty index. */
export function createWorkIndex(): WorkIndex {
  const byMember = new Map<string, Map<number, Work>>();
  const byEndpoint = new Map<string, Set<Work>>();

  function add(work: Work): void {
    remove(work.member, work.id);
    const works = byMember.get(work.member) ?? new Map<number, Work>();
    works.set(work.id, work);
    byMember.set(work.member, works);
    for (const endpoint of [work.main, ...work.helpers]) {
      const there = byEndpoint.get(endpoint) ?? new Set();
      there.add(work);
      byEndpoint.set(endpoint, there);
    }
  }

  function remove(member: string, number: number): void {
    const works = byMember.get(member);
    const work = works?.get(number);
    if (!works || !work) return;
    works.delete(number);
    if (works.size === 0) byMember.delete(member);
    for (const endpoint of [work.main, ...work.helpers]) {
      const there = byEndpoint.get(endpoint);
      there?.delete(work);
      if (there?.size === 0) byEndpoint.delete(endpoint);
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
    markDecoding: (member, number) => {
      const work = byMember.get(member)?.get(number);
      if (work) work.decoding = true;
    },
    remove,
    replace,
    onEndpoint: endpoint => byEndpoint.get(endpoint) ?? [],
    ofMember,
  };
}
