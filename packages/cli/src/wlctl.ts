import {randomUUID} from 'node:crypto';
import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import {cac, type CAC} from 'cac';
import type {WlctlParts} from './wlctl_parts.js';
import {formatCliError, type CliError} from './cli_error.js';
import {createAdminClient, type AdminClient} from './client/admin_client.js';
import {ALL_COMMANDS} from './commands/all_commands.js';
import type {Command} from './commands/command.js';
import type {CommandInput} from './commands/command_input.js';
import {wrongUsage, type CommandResult} from './commands/command_result.js';
import {EXIT_CODES, EXIT_MEANINGS} from './exit_codes.js';
import type {ExitReason} from './exit_reason.js';
import {joinWords} from './join_words.js';
import {optionText} from './option_text.js';
import {JsonFormat} from './output/json_format.js';
import {TextFormat} from './output/text_format.js';

type Options = Record<string, unknown>;

/** Runs one command line and returns the exit status. */
export async function runWlctl(parts: WlctlParts): Promise<number> {
  const {args: words, out, err} = parts;
  const results: CommandResult[] = [];
  const cli = createCli(async (command, args, options) => {
    const input = commandInput(command, args, options, words);
    results.push(await command.run(commandContext(parts), input));
  });
  try {
    const {options} = cli.parse(['', '', ...joinWords(words)], {run: false});
    if (options['help']) return EXIT_CODES.ok;
    if (!cli.matchedCommand) {
      const [group] = cli.args;
      results.push(unknownCommand(group));
    } else await cli.runMatchedCommand();
  } catch (error) {
    results.push(unexpected(error));
  }
  const [result] = results;
  if (!result) return EXIT_CODES.failed;
  const format = words.includes('--json') ? new JsonFormat() : new TextFormat();
  if (result.report) out(format.render(result.report));
  for (const error of result.errors) err(formatCliError(error));
  return EXIT_CODES[result.exit];
}

function createCli(
  run: (command: Command, args: unknown[], options: Options) => Promise<void>,
): CAC {
  const cli = cac('wlctl');
  cli.usage('<command> [options]');
  cli.option('--url <url>', 'Address of wl-admin; else WL_ADMIN_URL');
  cli.option('--key <key>', 'Bearer key; better in WL_ADMIN_KEY');
  cli.option('--json', 'Write JSON');
  for (const command of ALL_COMMANDS) {
    const added = cli.command(command.usage, command.help);
    for (const {flag, help} of command.options) added.option(flag, help);
    for (const line of command.examples) added.example(`  $ wlctl ${line}`);
    added.action((...values: unknown[]) => {
      const options = values.pop() as Options;
      return run(command, values, options);
    });
  }
  cli.help(sections => [
    ...sections.filter(({title}) => !title?.startsWith('For more info')),
    {title: 'Exit status', body: exitHelp()},
  ]);
  return cli;
}

function exitHelp(): string {
  return (Object.keys(EXIT_CODES) as ExitReason[])
    .map(reason => `  ${EXIT_CODES[reason]}  ${EXIT_MEANINGS[reason]}`)
    .join('\n');
}

function commandInput(
  {usage}: Command,
  values: unknown[],
  options: Options,
  words: readonly string[],
): CommandInput {
  const repeatable = usage.includes('...');
  const rest = repeatable ? (values.at(-1) as string[]) : [];
  const args = repeatable ? values.slice(0, -1) : values;
  return {
    args: args as (string | undefined)[],
    rest,
    text: name => optionText(words, name),
    flag: name => options[name] === true,
  };
}

function commandContext({args: words, env, input}: WlctlParts) {
  return {
    input,
    newEditId: () => randomUUID(),
    client: (): Result<AdminClient, CliError> => {
      const url = optionText(words, 'url') ?? env['WL_ADMIN_URL'];
      const key = optionText(words, 'key') ?? env['WL_ADMIN_KEY'];
      if (url === undefined || !URL.canParse(url)) {
        return missing('the address of wl-admin', '--url', 'WL_ADMIN_URL');
      }
      if (!key) return missing('the key', '--key', 'WL_ADMIN_KEY');
      return Ok(createAdminClient(url.replace(/\/+$/, ''), key));
    },
  };
}

function missing(
  what: string,
  flag: string,
  variable: string,
): Result<never, CliError> {
  return Err({
    exit: 'usage',
    what: `${what} is missing or malformed`,
    where: '',
    hint: `Set ${variable} or give ${flag}.`,
  });
}

function unknownCommand(group: string | undefined): CommandResult {
  const verbs = ALL_COMMANDS.map(({usage}) => usage).filter(usage =>
    usage.startsWith(`${group?.split(' ')[0]} `),
  );
  const hint =
    verbs.length > 0
      ? `Use one of:\n  ${verbs.map(usage => `wlctl ${usage}`).join('\n  ')}`
      : 'See "wlctl --help".';
  return wrongUsage(
    group === undefined ? 'a command is missing' : `no command "${group}"`,
    hint,
  );
}

function unexpected(error: unknown): CommandResult {
  const {name, message} = error as Error;
  if (name === 'CACError') {
    return wrongUsage(message, 'See "wlctl COMMAND --help".');
  }
  const what = `unexpected failure: ${message}`;
  return {
    exit: 'failed',
    errors: [{exit: 'failed', what, where: '', hint: ''}],
  };
}
