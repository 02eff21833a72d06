import type {StepContext} from '@wisterialadder/core/types/step_context.js';
import type {LoadAction} from './load_action.js';

export type LoadContext = StepContext<LoadAction>;
