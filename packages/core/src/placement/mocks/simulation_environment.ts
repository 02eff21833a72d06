import type {TestLog} from '../../lease/mocks/test_log.js';
import type {RandomSource} from '../../types/random_source.js';
import type {FleetEngine} from './fleet_engine.js';
import type {PlacerFaultKind} from './placer_fault.js';

/** What the processes of a simulated fleet share. */
export interface SimulationEnvironment {
  log: TestLog;
  engines: Map<string, FleetEngine>;
  random: RandomSource;
  /** True time in milliseconds. */
  nowMs(): number;
  /** Runs work after a time. */
  after(ms: number, work: () => void): void;
  /** Time that a message from or to a placer takes now. */
  delayMs(machine: number): number;
  /** Checks that no holder of another lease exists while an order is written. */
  checkWrite(token: number): void;
  /** Whether a fault of a kind is on, for a target or for all. */
  faulty(kind: PlacerFaultKind, target?: number): boolean;
}
