import {ALL_COMMANDS} from './commands/all_commands.js';

/** First words of the commands that consist of two words. */
const COMMAND_GROUPS = new Set(
  ALL_COMMANDS.map(({usage}) => usage.split(/ [<[]/)[0] ?? '')
    .filter(words => words.includes(' '))
    .map(words => words.split(' ')[0] ?? ''),
);

/**
 * Joins a group and its subcommand, such as `table show`, into one argument:
 * cac matches a command by a single argument.
 */
export function joinSubcommand(args: readonly string[]): string[] {
  const at = args.findIndex(arg => COMMAND_GROUPS.has(arg));
  const [group, subcommand] = args.slice(at, at + 2);
  if (at < 0 || subcommand === undefined || subcommand.startsWith('-')) {
    return [...args];
  }
  return [
    ...args.slice(0, at),
    `${group} ${subcommand}`,
    ...args.slice(at + 2),
  ];
}
