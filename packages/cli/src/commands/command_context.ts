import type {Result} from '@wisterialadder/core/shared/result.js';
import type {Readable} from 'node:stream';
import type {AdminClient} from '../client/admin_client.js';
import type {CliError} from '../cli_error.js';

/** What a command may use. */
export interface CommandContext {
  /** Client of the API; an error if address or key are missing. */
  client(): Result<AdminClient, CliError>;
  input: Readable;
  newEditId(): string;
}
