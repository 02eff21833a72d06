import type {StepContext} from '@wisterialadder/core/types/step_context.js';
import type {EngineAction} from './actions/engine_action.js';

export type EngineContext = StepContext<EngineAction>;
