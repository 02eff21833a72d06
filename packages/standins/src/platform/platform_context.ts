import type {StepContext} from '@wisterialadder/core/types/step_context.js';
import type {PlatformAction} from './platform_action.js';

export type PlatformContext = StepContext<PlatformAction>;
