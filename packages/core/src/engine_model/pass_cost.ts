import type {EngineProfile} from '../configuration/engine_profile.js';

/** Duration of a pass that decodes streams without prefill, in milliseconds. */
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
