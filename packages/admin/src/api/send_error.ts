import type {ServerResponse} from 'node:http';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';
import type {ApiError} from './api_error.js';
import {ERROR_STATUSES} from './error_statuses.js';

/** Sends `{error, message, …}`. */
export function sendError(res: ServerResponse, err: ApiError): void {
  const status = err.status ?? ERROR_STATUSES[err.code];
  const body = {error: err.code, message: err.message, ...err.details};
  sendJson(res, status, body);
}
