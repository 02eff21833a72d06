import type {StepContext} from '../types/step_context.js';
import type {LeaseAction} from './lease_action.js';

/** Step context of the lease. */
export type LeaseContext = StepContext<LeaseAction>;
