import type {EventEmitter} from 'node:events';

/** Set by the start script if a signal came before the program was loaded. */
const EARLY_STOP = Symbol.for('wisterialadder.early_stop');

/** Signals that ask the process to stop. */
export interface StopSignals {
  /** Calls the handler for each signal, at once if one came before. */
  onStop(handler: () => void): void;
}

/** Catches the signals from now on, before anything handles them. */
export function createStopSignals(
  source: Pick<EventEmitter, 'on'> = process,
): StopSignals {
  const handlers: (() => void)[] = [];
  let requested = EARLY_STOP in globalThis;

  function stop(): void {
    requested = true;
    for (const handler of handlers) handler();
  }

  source.on('SIGTERM', stop);
  source.on('SIGINT', stop);

  return {
    onStop: handler => {
      handlers.push(handler);
      if (requested) handler();
    },
  };
}
