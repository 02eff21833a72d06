/**
 * Intersections of one set with others, each made once: the parts of a long
 * prompt share what they were seen with.
 */
export interface Intersections {
  readonly all: ReadonlySet<string>;
  with(other: ReadonlySet<string>): ReadonlySet<string>;
}

/** Creates the intersections of a set. */
export function createIntersections(all: ReadonlySet<string>): Intersections {
  const known = new Map<ReadonlySet<string>, ReadonlySet<string>>();

  return {
    all,
    with: other => {
      const made = known.get(other);
      if (made) return made;
      const common = new Set([...all].filter(part => other.has(part)));
      known.set(other, common);
      return common;
    },
  };
}
