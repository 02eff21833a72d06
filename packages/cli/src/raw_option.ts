/**
 * Value of an option exactly as given. cac converts values like `0012` or
 * `1e5` to numbers, which would change ids and keys.
 */
export function rawOption(
  args: readonly string[],
  name: string,
): string | undefined {
  const flag = `--${name}`;
  const terminator = args.indexOf('--');
  const beforeTerminator = terminator < 0 ? args : args.slice(0, terminator);
  const inline = beforeTerminator.findLast(arg => arg.startsWith(`${flag}=`));
  if (inline !== undefined) return inline.slice(flag.length + 1);
  const at = beforeTerminator.lastIndexOf(flag);
  return at < 0 ? undefined : beforeTerminator[at + 1];
}
