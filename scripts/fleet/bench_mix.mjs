import {readFileSync} from 'node:fs';

const SPLIT_TOKENS = 4_000;
const SPLIT_SUFFIX = '-over-4k';

/**
 * Reads a mix and moves short prompts over 4,000 tokens to a class and a
 * customer of their own, because wl-load reports the time to first token per
 * customer. The distribution of lengths stays the same.
 */
export function readBenchMix(file) {
  const mix = JSON.parse(readFileSync(file, 'utf8'));
  const short = mix.classes.find(({length}) => length?.max <= 10_000);
  const {min, max} = short.length;
  const shareBelow = Math.log(SPLIT_TOKENS / min) / Math.log(max / min);
  const customer = short.customers[0];
  const owner = mix.customers.find(({name}) => name === customer);
  const longer = {
    ...short,
    name: short.name + SPLIT_SUFFIX,
    share: short.share * (1 - shareBelow),
    customers: [customer + SPLIT_SUFFIX],
    length: {...short.length, min: SPLIT_TOKENS},
  };
  short.share *= shareBelow;
  short.length = {...short.length, max: SPLIT_TOKENS};
  mix.classes.push(longer);
  mix.customers.push({
    ...owner,
    name: customer + SPLIT_SUFFIX,
    key: owner.key + SPLIT_SUFFIX,
  });
  const long = mix.classes
    .filter(({length}) => length?.min >= 10_000)
    .map(({name}) => name);
  return {mix, shortCustomer: customer, longClasses: long};
}
