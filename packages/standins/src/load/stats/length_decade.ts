/** Prompt lengths by decade, named by the lower bound in tokens. */
export type LengthDecade = '<1k' | '1k' | '10k' | '100k' | '1M';

/** All decades, shortest first. */
export const LENGTH_DECADES: LengthDecade[] = [
  '<1k',
  '1k',
  '10k',
  '100k',
  '1M',
];

/** Returns the decade of a prompt length. */
export function lengthDecade(tokens: number): LengthDecade {
  if (tokens >= 1_000_000) return '1M';
  if (tokens >= 100_000) return '100k';
  if (tokens >= 10_000) return '10k';
  return tokens >= 1_000 ? '1k' : '<1k';
}
