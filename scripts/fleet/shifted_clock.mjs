// Imported into a process to shift its wall clock; the monotonic clock is not
// affected.
const shiftMs = Number(process.env.WL_CLOCK_SHIFT_MS);
const now = Date.now;
Date.now = () => now() + shiftMs;
