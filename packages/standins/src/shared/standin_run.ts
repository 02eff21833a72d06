import type {DisposableStore} from '@wisterialadder/runtime/lifecycle/disposable_store.js';
import type {Logger} from '@wisterialadder/runtime/logging/logger.js';

/** Process services that a stand-in uses. */
export interface StandinRun {
  logger: Logger;
  store: DisposableStore;
  onSignal(handler: () => void): void;
  exit(code: number): void;
}
