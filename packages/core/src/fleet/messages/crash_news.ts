import type {CrashReport} from '../../quarantine/crash_report.js';
import type {EndedEngines} from '../../quarantine/ended_engines.js';
import type {CauseTrial} from './cause_trial.js';
import type {ProvenCause} from './proven_cause.js';

/** What a gateway observed of engines that ended, for all others. */
export interface CrashNews {
  kind: 'crash_news';
  crashes: CrashReport[];
  /** Engines that ended under requests, also those of earlier reports. */
  endedEngines: EndedEngines[];
  proven: ProvenCause[];
  trials: CauseTrial[];
  /** Causes whose trial at the sender ended without a result. */
  ended: string[];
}
