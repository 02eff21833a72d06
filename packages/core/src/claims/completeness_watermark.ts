/** Age limit of the keys about which a reader of a partition knows all. */
export interface CompletenessWatermark {
  /** Records below the offset have passed out of retention unread. */
  trimmed(offset: number): void;
  /** A retained batch was read. */
  batchRead(base: number, wallMs: number): void;
  /** Knowledge of keys up to this time was dropped. */
  raise(timeMs: number): void;
  /** Whether all claims with a key of this time have been read. */
  covers(keyTimeMs: number): boolean;
  /** Whether that will never be so for a key of this time. */
  excludes(keyTimeMs: number): boolean;
}

/**
 * Creates the watermark of a reader that starts with the first record of the
 * stream. Trimmed records can only hold keys older than the wall clock of a
 * batch whose recorder had already read them, plus the tolerance twice: once
 * for the key's lead over the owner's clock, once for the owner's clock over
 * the recorder's. A batch with an earlier base may have been delayed on its
 * way to the log, so its clock says nothing about the records before it.
 */
export function createCompletenessWatermark(
  clockToleranceMs: number,
): CompletenessWatermark {
  let watermarkMs = -Infinity;
  let trimmedBelow: number | undefined;

  function batchRead(base: number, wallMs: number): void {
    if (trimmedBelow === undefined || base < trimmedBelow) return;
    trimmedBelow = undefined;
    raise(wallMs + 2 * clockToleranceMs);
  }

  function raise(timeMs: number): void {
    watermarkMs = Math.max(watermarkMs, timeMs);
  }

  return {
    trimmed: offset => {
      trimmedBelow = offset;
    },
    batchRead,
    raise,
    covers: timeMs => trimmedBelow === undefined && timeMs > watermarkMs,
    excludes: timeMs => timeMs <= watermarkMs,
  };
}
