// Imported into a process whose time of day is to have jumped; the steady
// clock is not affected.
const shiftMs = Number(process.env.WL_CLOCK_SHIFT_MS);
const now = Date.now;
Date.now = () => now() + shiftMs;
