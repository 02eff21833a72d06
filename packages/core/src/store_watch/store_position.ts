/** How far one part of the store was read. */
export interface StorePosition {
  /** Offset of the next record; undefined if nothing is known. */
  next: number | undefined;
  /** Whether the next read must list everything. */
  mustList: boolean;
  /** Steady clock; what is known was the newest at this time. */
  freshMs: number;
  /** Steady clock; when the open read was sent. */
  askedMs: number | undefined;
}

/** Creates the position of a process that has read nothing. */
export function createStorePosition(): StorePosition {
  return {
    next: undefined,
    mustList: true,
    freshMs: Number.NEGATIVE_INFINITY,
    askedMs: undefined,
  };
}
