import type {CommandContext} from './command_context.js';
import type {CommandResult} from './command_result.js';

/** One option of a command, as cac writes it: `--id <id>`. */
export interface CommandOption {
  flag: string;
  help: string;
}

/** Arguments and options that the person typed. */
export interface CommandInput {
  /** In the order of the usage line; absent ones are undefined. */
  args: (string | undefined)[];
  /** Arguments of the last, repeatable place. */
  rest: string[];
  /** Text of an option; undefined if it was not given. */
  text(name: string): string | undefined;
  flag(name: string): boolean;
}

/** One command of `wlctl`. */
export interface Command {
  /** Words and arguments, for example `table show [type] [name]`. */
  usage: string;
  help: string;
  options: CommandOption[];
  /** Command lines without the leading `wlctl`. */
  examples: string[];
  run(ctx: CommandContext, input: CommandInput): Promise<CommandResult>;
}
