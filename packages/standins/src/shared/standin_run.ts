import type {DisposableStore} from '@wisterialadder/runtime/lifecycle/disposable_store.js';
import type {Logger} from '@wisterialadder/runtime/logging/logger.js';

/** What a stand-in needs of its process. */
export interface StandinRun {
  logger: Logger;
  store: DisposableStore;
  onSignal(handler: () => void): void;
  exit(code: number): void;
}
