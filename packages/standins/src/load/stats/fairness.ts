/** Jain's fairness index: 1 for equal values, 1/n if only one is not 0. */
export function jainIndex(values: number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value * value, 0);
  return squares === 0 ? 1 : (sum * sum) / (values.length * squares);
}
