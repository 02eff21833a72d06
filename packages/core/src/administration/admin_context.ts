import type {StepContext} from '../types/step_context.js';
import type {AdminAction} from './admin_action.js';

/** What the administration may use while it handles one event. */
export type AdminContext = StepContext<AdminAction>;
