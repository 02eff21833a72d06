import type {TestLog} from '../../lease/mocks/test_log.js';
import type {RandomSource} from '../../types/random_source.js';
import type {FleetEngine} from './fleet_engine.js';
import type {PlacerFaultKind} from './placer_fault.js';

/** Environment that the processes of a simulated fleet share. */
export interface SimulationEnvironment {
  log: TestLog;
  engines: Map<string, FleetEngine>;
  random: RandomSource;
  /** True time in milliseconds. */
  nowMs(): number;
  /** Runs work after a delay. */
  after(ms: number, work: () => void): void;
  /** Delay of a message that is sent now from or to a placer. */
  delayMs(machine: number): number;
  /** Checks that no other lease is held while an order is sent. */
  checkOrderToken(token: number): void;
  /** Whether a fault of a kind is active, for a target or for any. */
  faultActive(kind: PlacerFaultKind, target?: number): boolean;
}
