import type {CommandInput} from './command_input.js';
import type {CommandOption} from './command_option.js';
import type {CommandContext} from './command_context.js';
import type {CommandResult} from './command_result.js';

/** One command of `wlctl`. */
export interface Command {
  /** Name and arguments, for example `table show [type] [name]`. */
  usage: string;
  help: string;
  options: CommandOption[];
  /** Command lines without the leading `wlctl`. */
  examples: string[];
  run(ctx: CommandContext, input: CommandInput): Promise<CommandResult>;
}
