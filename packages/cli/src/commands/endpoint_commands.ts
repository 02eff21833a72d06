import {EDIT_ANSWER} from '../client/answers.js';
import type {ExitReason} from '../exit_reason.js';
import type {CliError} from '../cli_error.js';
import type {Command} from './command.js';
import {failure, type CommandResult} from './command_result.js';
import {editReport} from './edit_report.js';

/** What an operator can do with an endpoint. */
type EndpointVerb = 'start' | 'stop' | 'drain';

const HELP: Record<EndpointVerb, string> = {
  start: 'Give endpoints new work again',
  stop: 'Take endpoints out of service',
  drain: 'Give endpoints no new work and let them finish',
};

/** Commands that change the desired state of endpoints, one after another. */
export const ENDPOINT_COMMANDS = (['start', 'stop', 'drain'] as const).map(
  endpointCommand,
);

function endpointCommand(verb: EndpointVerb): Command {
  return {
    usage: `endpoints ${verb} <...names>`,
    help: HELP[verb],
    options: [],
    examples: [`endpoints ${verb} engine-3`],
    run: async (ctx, {rest}): Promise<CommandResult> => {
      const client = ctx.client();
      if (!client.ok) return failure(client.val);
      const notes: string[] = [];
      const errors: CliError[] = [];
      const results: unknown[] = [];
      let exit: ExitReason = 'ok';
      for (const name of rest) {
        const path = `/v1/endpoints/${encodeURIComponent(name)}/${verb}`;
        const headers = {'wl-edit-id': ctx.newEditId()};
        const answer = await client.val.post(path, {}, EDIT_ANSWER, headers);
        const result = answer.ok
          ? editReport(answer.val.edit)
          : failure(answer.val);
        if (exit === 'ok') exit = result.exit;
        errors.push(...result.errors);
        const lines = result.report?.notes ?? [];
        notes.push(...lines.map(line => `${name}: ${line}`));
        if (answer.ok) results.push({endpoint: name, ...answer.val});
      }
      const report = {columns: [], rows: [], notes, json: {results}};
      return {exit, report, errors};
    },
  };
}
