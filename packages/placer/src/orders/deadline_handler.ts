import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {OrderExpiredError} from './order_expired_error.js';

type Controller = Dispatcher.DispatchController;

/**
 * Aborts a request that is about to be written after its deadline. `undici`
 * calls `onRequestStart` after waiting for a connection, directly before the
 * write, and again before each retried write.
 */
export class DeadlineHandler implements Dispatcher.DispatchHandler {
  constructor(
    private readonly inner: Dispatcher.DispatchHandler,
    private readonly deadlineMs: number,
    private readonly nowMs: () => number,
  ) {}

  onRequestStart(controller: Controller, context: unknown): void {
    this.inner.onRequestStart?.(controller, context);
    if (this.nowMs() >= this.deadlineMs)
      controller.abort(new OrderExpiredError());
  }

  onResponseStart(
    controller: Controller,
    statusCode: number,
    headers: IncomingHttpHeaders,
    statusMessage?: string,
  ): void {
    this.inner.onResponseStart?.(
      controller,
      statusCode,
      headers,
      statusMessage,
    );
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    this.inner.onResponseData?.(controller, chunk);
  }

  onResponseEnd(controller: Controller, trailers: IncomingHttpHeaders): void {
    this.inner.onResponseEnd?.(controller, trailers);
  }

  onResponseError(controller: Controller, error: Error): void {
    this.inner.onResponseError?.(controller, error);
  }
}
