/** A block of shell commands on a page and the expected output. */
export interface DocBlock {
  commands: string;
  /** Undefined if the page shows no output. */
  output: string | undefined;
}

/** Finds the `sh` blocks of a page, each with the `text` block after it. */
export function docBlocks(page: string): DocBlock[] {
  const pattern = /```sh\n([\s\S]*?)```\n(?:\n```text\n([\s\S]*?)```)?/g;
  return [...page.matchAll(pattern)].map(([, commands = '', output]) => ({
    commands,
    output,
  }));
}
