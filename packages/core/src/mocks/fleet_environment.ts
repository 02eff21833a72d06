import type {RandomSource} from '../types/random_source.js';
import type {FleetFaults} from './fleet_faults.js';
import type {FleetJournal} from './fleet_journal.js';
import type {MemoryLog} from './memory_log.js';
import type {VirtualScheduler} from './virtual_scheduler.js';

/** Environment that the routers of a virtual fleet share. */
export interface FleetEnvironment {
  clock: VirtualScheduler;
  random: RandomSource;
  log: MemoryLog;
  faults: FleetFaults;
  journal: FleetJournal;
}
