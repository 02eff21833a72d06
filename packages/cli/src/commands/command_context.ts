import type {Result} from '@wisterialadder/core/shared/result.js';
import type {Readable} from 'node:stream';
import type {AdminClient} from '../client/admin_client.js';
import type {CliError} from '../cli_error.js';

/** Services that a command uses. */
export interface CommandContext {
  /** Client of the API; an error if its address or key is missing. */
  client(): Result<AdminClient, CliError>;
  stdin: Readable;
  newEditId(): string;
}
