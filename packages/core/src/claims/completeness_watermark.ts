/**
 * Creation time after which a reader of a partition has read all claims of a
 * key.
 */
export interface CompletenessWatermark {
  /** Records below the offset passed out of retention before being read. */
  trimmed(offset: number): void;
  /** A retained batch was read. */
  batchRead(base: number, wallMs: number): void;
  /** State of keys up to this time was dropped. */
  raise(timeMs: number): void;
  /** Whether all claims of a key created at this time have been read. */
  covers(keyTimeMs: number): boolean;
  /** Whether a key created at this time can never be covered. */
  excludes(keyTimeMs: number): boolean;
}

/**
 * Creates the watermark of a reader that starts with the first record of the
 * stream. Trimmed records can only hold keys older than the wall clock of a
 * batch whose recorder had already read them, plus twice the tolerance: once
 * for the key's lead over the owner's clock, once for the owner's lead over
 * the recorder's clock. A batch with an earlier base may have been delayed on
 * its way to the log, so its clock gives no bound for the trimmed records.
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
