/**
 * Text of an option as typed. cac turns values like `0012` or `1e5` into
 * numbers, which would change ids and keys.
 */
export function optionText(
  words: readonly string[],
  name: string,
): string | undefined {
  const flag = `--${name}`;
  const end = words.indexOf('--');
  const known = end < 0 ? words : words.slice(0, end);
  const joined = known.findLast(word => word.startsWith(`${flag}=`));
  if (joined !== undefined) return joined.slice(flag.length + 1);
  const at = known.lastIndexOf(flag);
  return at < 0 ? undefined : known[at + 1];
}
