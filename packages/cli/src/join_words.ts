import {ALL_COMMANDS} from './commands/all_commands.js';

/** First words of the commands that have two. */
const GROUPS = new Set(
  ALL_COMMANDS.map(({usage}) => usage.split(/ [<[]/)[0] ?? '')
    .filter(words => words.includes(' '))
    .map(words => words.split(' ')[0] ?? ''),
);

/** Joins `table show` into one word, as cac knows commands of one word. */
export function joinWords(words: readonly string[]): string[] {
  const at = words.findIndex(word => GROUPS.has(word));
  const [group, verb] = words.slice(at, at + 2);
  if (at < 0 || verb === undefined || verb.startsWith('-')) return [...words];
  return [...words.slice(0, at), `${group} ${verb}`, ...words.slice(at + 2)];
}
