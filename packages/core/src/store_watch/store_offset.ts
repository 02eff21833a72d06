/** Offsets of one era stay below this. */
const OFFSETS_PER_ERA = 2 ** 32;
/**
 * Eras that an offset can tell apart; later ones start again from 0. It keeps
 * offsets within the whole numbers that a double holds exactly.
 */
export const STORE_ERAS = 2 ** 21;

/**
 * Offset of a record across restorations of the store. A store that is restored
 * from an older copy assigns offsets again and starts a new era, so the era is
 * the high part of the number: any offset of a later era is greater.
 * @param era number of restorations of the store, from 0
 * @param index offset as the store assigns it, from 0
 */
export function storeOffset(era: number, index: number): number {
  return (era % STORE_ERAS) * OFFSETS_PER_ERA + index;
}

/** Era of an offset. */
export function eraOf(offset: number): number {
  return Math.floor(offset / OFFSETS_PER_ERA);
}

/** Offset as the store assigned it within its era. */
export function indexInEra(offset: number): number {
  return offset % OFFSETS_PER_ERA;
}
