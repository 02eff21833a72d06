import {EDIT_RESPONSE} from '../client/responses.js';
import type {ExitReason} from '../exit_reason.js';
import type {CliError} from '../cli_error.js';
import type {Command} from './command.js';
import {failure, type CommandResult} from './command_result.js';
import {editReport} from './edit_report.js';

/** Change of an endpoint's desired state. */
type EndpointAction = 'start' | 'stop' | 'drain';

const HELP: Record<EndpointAction, string> = {
  start: 'Give endpoints new work again',
  stop: 'Take endpoints out of service',
  drain: 'Give endpoints no new work and let them finish',
};

/** Commands that set the desired state of endpoints, one edit per endpoint. */
export const ENDPOINT_COMMANDS = (['start', 'stop', 'drain'] as const).map(
  endpointCommand,
);

function endpointCommand(action: EndpointAction): Command {
  return {
    usage: `endpoints ${action} <...names>`,
    help: HELP[action],
    options: [],
    examples: [`endpoints ${action} engine-3`],
    run: async (ctx, {variadicArgs: names}): Promise<CommandResult> => {
      const client = ctx.client();
      if (!client.ok) return failure(client.val);
      const notes: string[] = [];
      const errors: CliError[] = [];
      const results: unknown[] = [];
      let exit: ExitReason = 'ok';
      for (const name of names) {
        const path = `/v1/endpoints/${encodeURIComponent(name)}/${action}`;
        const headers = {'wl-edit-id': ctx.newEditId()};
        const response = await client.val.post(
          path,
          {},
          EDIT_RESPONSE,
          headers,
        );
        const result = response.ok
          ? editReport(response.val.edit)
          : failure(response.val);
        if (exit === 'ok') exit = result.exit;
        errors.push(...result.errors);
        const lines = result.report?.notes ?? [];
        notes.push(...lines.map(line => `${name}: ${line}`));
        if (response.ok) results.push({endpoint: name, ...response.val});
      }
      const report = {columns: [], rows: [], notes, json: {results}};
      return {exit, report, errors};
    },
  };
}
