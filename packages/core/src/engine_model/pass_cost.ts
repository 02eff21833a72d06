import type {EngineProfile} from '../configuration/engine_profile.js';

/** Milliseconds of a pass that writes streams and reads nothing. */
export function passMs(
  profile: EngineProfile,
  streams: number,
  contextTokens: number,
): number {
  const stepMs =
    profile.stepMs +
    streams * profile.stepMsPerStream +
    (contextTokens / 1_000) * profile.stepMsPerThousandTokens;
  return profile.stepsPerPass * stepMs;
}
