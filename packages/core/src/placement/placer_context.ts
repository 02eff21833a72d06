import type {StepContext} from '../types/step_context.js';
import type {PlacerAction} from './actions/placer_action.js';

/** Step context of the placer's components. */
export type PlacerContext = StepContext<PlacerAction>;
