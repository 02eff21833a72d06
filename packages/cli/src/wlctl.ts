import {randomUUID} from 'node:crypto';
import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import {cac, type CAC} from 'cac';
import type {WlctlInvocation} from './wlctl_invocation.js';
import {formatCliError, type CliError} from './cli_error.js';
import {createAdminClient, type AdminClient} from './client/admin_client.js';
import {ALL_COMMANDS} from './commands/all_commands.js';
import type {Command} from './commands/command.js';
import type {CommandInput} from './commands/command_input.js';
import {
  failure,
  usageError,
  type CommandResult,
} from './commands/command_result.js';
import {EXIT_CODES, EXIT_MEANINGS} from './exit_codes.js';
import type {ExitReason} from './exit_reason.js';
import {joinSubcommand} from './join_subcommand.js';
import {rawOption} from './raw_option.js';
import {JsonFormat} from './output/json_format.js';
import {TextFormat} from './output/text_format.js';

type Options = Record<string, unknown>;

/** Runs one command line and returns the exit status. */
export async function runWlctl(invocation: WlctlInvocation): Promise<number> {
  const {args, stdout, stderr} = invocation;
  const results: CommandResult[] = [];
  const cli = createCli(async (command, values, options) => {
    const input = commandInput(command, values, options, args);
    results.push(await command.run(commandContext(invocation), input));
  });
  try {
    const {options} = cli.parse(['', '', ...joinSubcommand(args)], {
      run: false,
    });
    if (options['help']) return EXIT_CODES.ok;
    if (!cli.matchedCommand) {
      const [group] = cli.args;
      results.push(unknownCommand(group));
    } else await cli.runMatchedCommand();
  } catch (error) {
    results.push(unexpectedError(error));
  }
  const [result] = results;
  if (!result) return EXIT_CODES.failed;
  const format = args.includes('--json') ? new JsonFormat() : new TextFormat();
  if (result.report) stdout(format.render(result.report));
  for (const error of result.errors) stderr(formatCliError(error));
  return EXIT_CODES[result.exit];
}

function createCli(
  run: (command: Command, values: unknown[], options: Options) => Promise<void>,
): CAC {
  const cli = cac('wlctl');
  cli.usage('<command> [options]');
  cli.option('--url <url>', 'Address of wl-admin; else WL_ADMIN_URL');
  cli.option('--key <key>', 'Bearer key; better in WL_ADMIN_KEY');
  cli.option('--json', 'Write JSON');
  for (const command of ALL_COMMANDS) {
    const added = cli.command(command.usage, command.help);
    for (const {flag, help} of command.options) added.option(flag, help);
    for (const example of command.examples) {
      added.example(`  $ wlctl ${example}`);
    }
    added.action((...values: unknown[]) => {
      const options = values.pop() as Options;
      return run(command, values, options);
    });
  }
  cli.help(sections => [
    ...sections.filter(({title}) => !title?.startsWith('For more info')),
    {title: 'Exit status', body: exitStatusHelp()},
  ]);
  return cli;
}

function exitStatusHelp(): string {
  return (Object.keys(EXIT_CODES) as ExitReason[])
    .map(reason => `  ${EXIT_CODES[reason]}  ${EXIT_MEANINGS[reason]}`)
    .join('\n');
}

function commandInput(
  {usage}: Command,
  values: unknown[],
  options: Options,
  commandLine: readonly string[],
): CommandInput {
  const variadic = usage.includes('...');
  const variadicArgs = variadic ? (values.at(-1) as string[]) : [];
  const args = variadic ? values.slice(0, -1) : values;
  return {
    args: args as (string | undefined)[],
    variadicArgs,
    option: name => rawOption(commandLine, name),
    flag: name => options[name] === true,
  };
}

function commandContext({args, env, stdin}: WlctlInvocation) {
  return {
    stdin,
    newEditId: () => randomUUID(),
    client: (): Result<AdminClient, CliError> => {
      const url = rawOption(args, 'url') ?? env['WL_ADMIN_URL'];
      const key = rawOption(args, 'key') ?? env['WL_ADMIN_KEY'];
      if (url === undefined || !URL.canParse(url)) {
        return missingSetting(
          'the address of wl-admin',
          '--url',
          'WL_ADMIN_URL',
        );
      }
      if (!key) return missingSetting('the key', '--key', 'WL_ADMIN_KEY');
      return Ok(createAdminClient(url.replace(/\/+$/, ''), key));
    },
  };
}

function missingSetting(
  name: string,
  flag: string,
  variable: string,
): Result<never, CliError> {
  return Err({
    exit: 'usage',
    message: `${name} is missing or malformed`,
    location: '',
    hint: `Set ${variable} or give ${flag}.`,
  });
}

function unknownCommand(group: string | undefined): CommandResult {
  const usages = ALL_COMMANDS.map(({usage}) => usage).filter(usage =>
    usage.startsWith(`${group?.split(' ')[0]} `),
  );
  const hint =
    usages.length > 0
      ? `Use one of:\n  ${usages.map(usage => `wlctl ${usage}`).join('\n  ')}`
      : 'See "wlctl --help".';
  return usageError(
    group === undefined ? 'a command is missing' : `no command "${group}"`,
    hint,
  );
}

function unexpectedError(error: unknown): CommandResult {
  const {name, message} = error as Error;
  if (name === 'CACError') {
    return usageError(message, 'See "wlctl COMMAND --help".');
  }
  return failure({
    exit: 'failed',
    message: `unexpected error: ${message}`,
    location: '',
    hint: '',
  });
}
