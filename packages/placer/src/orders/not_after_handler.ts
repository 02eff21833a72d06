import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {OrderExpired} from './order_expired.js';

type Controller = Dispatcher.DispatchController;

/**
 * Aborts a request whose time is over when it is about to be written.
 * `undici` calls `onRequestStart` after it has waited for a connection and
 * directly before the write, and again before a repeated write.
 */
export class NotAfterHandler implements Dispatcher.DispatchHandler {
  constructor(
    private readonly inner: Dispatcher.DispatchHandler,
    private readonly notAfterMs: number,
    private readonly nowMs: () => number,
  ) {}

  onRequestStart(controller: Controller, context: unknown): void {
    this.inner.onRequestStart?.(controller, context);
    if (this.nowMs() >= this.notAfterMs) controller.abort(new OrderExpired());
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
