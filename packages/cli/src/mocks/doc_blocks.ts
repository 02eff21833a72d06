/** A block of commands and the output that the page shows for it. */
export interface DocBlock {
  commands: string;
  /** Undefined if the page shows none. */
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
