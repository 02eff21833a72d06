import type {ServerResponse} from 'node:http';

/**
 * Sends a body block by block, so that progress shows, and ends the answer.
 * @returns the number of bytes that are not sent yet
 */
export function sendBody(
  res: ServerResponse,
  blocks: readonly Buffer[],
): () => number {
  let next = 0;

  function sendMore(): void {
    for (; next < blocks.length - 1;) {
      const block = blocks[next];
      next += 1;
      if (!res.write(block)) return void res.once('drain', sendMore);
    }
    res.end(blocks[next]);
    next = blocks.length;
  }

  sendMore();
  return () =>
    blocks
      .slice(next)
      .reduce((sum, {length}) => sum + length, res.writableLength);
}
