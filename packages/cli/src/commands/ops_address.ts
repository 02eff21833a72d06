import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import {usageError, type CommandResult} from './command_result.js';

/** Base URL of a gateway's operations port without a final slash. */
export function parseOpsAddress(
  address: string,
): Result<string, CommandResult> {
  if (URL.canParse(address)) return Ok(address.replace(/\/+$/, ''));
  const hint = 'Give the operations port, as in http://10.0.0.1:9464.';
  return Err(usageError(`"${address}" is not a URL`, hint));
}
