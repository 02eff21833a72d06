import type {BODIES_SECTION} from '../settings/limit_sections.js';
import type {SettingsOf} from '../settings/settings_definition.js';

const BYTES_PER_KB = 1_024;

/** How long and how much of a refused body is discarded. */
export interface LingerLimits {
  timeoutMs: number;
  maxBytes: number;
}

/** Limits that the settings state. */
export function lingerLimitsOf({
  bodies,
}: SettingsOf<{bodies: typeof BODIES_SECTION}>): LingerLimits {
  return {timeoutMs: bodies.linger, maxBytes: bodies.discard * BYTES_PER_KB};
}
