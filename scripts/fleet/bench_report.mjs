/** Times that callers measure include connection setup. */
const CONNECTION_TOLERANCE_MS = 100;

/** Compares the results of variants and loads with the targets. */
export function evaluateTargets(results, {mix, shortCustomer, longClasses}) {
  const resultOf = (variant, load) =>
    results.find(item => item.variant === variant && item.load === load);
  const firstToken = item => item.customers[shortCustomer]?.firstTokenMs.p99;
  const [a, b, c] = ['a', 'b', 'c'].map(variant => resultOf(variant, 0.7));
  const targets = [
    atMost('p99 first token up to 4k, c/a at 70%', 0.2, [c, a].map(firstToken)),
    atMost('p99 first token up to 4k, c/b at 70%', 0.5, [c, b].map(firstToken)),
    ...longClasses.map(name => {
      const [fromA, fromB, fromC] = [a, b, c].map(
        item => item.classes[name]?.totalMs.p95,
      );
      const better = Math.min(fromA, fromB);
      const what = `p95 completion of ${name}, c/better at 70%`;
      return atMost(what, 1.15, [fromC, better]);
    }),
  ];
  const late = results
    .filter(({variant}) => variant === 'c')
    .reduce((sum, item) => sum + countLate(item, mix), 0);
  targets.push({
    what: 'classes of c past their time, or requests without an end',
    limit: 0,
    value: late,
    reached: late === 0,
  });
  const full = resultOf('c', 1);
  const overload = resultOf('c', 1.5);
  if (full && overload) {
    const value = overload.goodput / full.goodput;
    const what = 'goodput of c, 150%/100% (at least)';
    targets.push({what, limit: 0.9, value, reached: value >= 0.9});
  }
  return targets;
}

function atMost(what, limit, [value, base]) {
  const ratio = value / base;
  return {what, limit, value: ratio, reached: ratio <= limit};
}

function countLate(item, mix) {
  const late = mix.classes.filter(
    ({name, timeoutMs}) =>
      item.classes[name]?.totalMs.max > timeoutMs + CONNECTION_TOLERANCE_MS,
  );
  return late.length + (item.outcomes.no_answer ?? 0);
}

/** Formats the results of all runs as a table, one column per run. */
export function formatTable(results, shortCustomer, longClasses) {
  const heads = results.map(({variant, load}) => `${variant} ${load * 100}%`);
  const rows = [['', ...heads]];
  const add = (name, value) => rows.push([name, ...results.map(value)]);
  const summary = s =>
    s ? [s.p50, s.p95, s.p99].map(formatNumber).join('/') : '-';
  add('requests/s', item => formatNumber(item.rate));
  add('sent (not sent)', item => `${item.sent} (${item.notSent})`);
  for (const decade of ['1k', '10k', '100k']) {
    add(`first token ${decade}`, item => summary(item.firstTokenMs[decade]));
  }
  add('first token <=4k', item =>
    summary(item.customers[shortCustomer]?.firstTokenMs),
  );
  add('short slowdown', item => summary(item.shortSlowdown));
  for (const name of longClasses) {
    add(`total ${name}`, item => summary(item.classes[name]?.totalMs));
    add(`in time ${name}`, item =>
      formatPercent(item.classes[name]?.withinTime),
    );
  }
  add('in time', item => formatPercent(item.withinTime));
  add('in time/s', item => formatNumber(item.goodput));
  add('fairness', item => item.fairness.toFixed(3));
  add('router CPU ms/req', item => formatNumber(item.cpuMsPerRequest));
  add('peer bytes/s', item => formatNumber(item.peerBytesPerSecond));
  add('peak machine CPU', item => formatPercent(item.peaks.machine));
  add('peak wl-load cores', item => formatNumber(item.peaks.load));
  add('peak engine cores', item => formatNumber(item.peaks.engine));
  add('peak router cores', item => formatNumber(item.peaks.router));
  const names = new Set(results.flatMap(item => Object.keys(item.outcomes)));
  for (const name of names) add(name, item => String(item.outcomes[name] ?? 0));
  const widths = heads.map((_, i) =>
    Math.max(...rows.map(row => row[i + 1].length)),
  );
  const nameWidth = Math.max(...rows.map(([name]) => name.length));
  return rows
    .map(([name, ...cells]) =>
      [
        name.padEnd(nameWidth),
        ...cells.map((cell, i) => cell.padStart(widths[i])),
      ].join('  '),
    )
    .join('\n');
}

function formatNumber(value) {
  if (value === undefined) return 'n/a';
  return value >= 100 ? value.toFixed(0) : value.toFixed(1);
}

function formatPercent(share) {
  return share === undefined ? '-' : `${(share * 100).toFixed(1)}%`;
}
