/** Read position of one part of the store. */
export interface StorePosition {
  /** Offset of the next record; undefined until the part is known. */
  next: number | undefined;
  /** Whether the next read must list everything. */
  mustList: boolean;
  /** Steady clock; when everything was listed last. */
  listedMs: number;
  /** Steady clock; the copy was up to date at this time. */
  freshMs: number;
  /** Steady clock; when the pending read was sent. */
  readSentMs: number | undefined;
}

/** Creates the position of a process that has read nothing. */
export function createStorePosition(): StorePosition {
  return {
    next: undefined,
    mustList: true,
    listedMs: Number.NEGATIVE_INFINITY,
    freshMs: Number.NEGATIVE_INFINITY,
    readSentMs: undefined,
  };
}
