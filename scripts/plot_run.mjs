// Plots a recorded run as SVG: time to the first piece and longest pause by
// kind, requests in flight and endpoints put aside.
// Arguments: record, SVG file.
import {readFileSync, writeFileSync} from 'node:fs';
import {parse, View} from 'vega';
import {compile} from 'vega-lite';

const [recordFile, svgFile] = process.argv.slice(2);
if (!recordFile || !svgFile) {
  console.error('usage: node scripts/plot_run.mjs RECORD SVG');
  process.exit(2);
}

const WIDTH = 560;
const HEIGHT = 150;

function seconds(field) {
  return {
    field,
    type: 'quantitative',
    title: 'time of the run, s',
    axis: {format: 'd'},
  };
}

/** Plots requests by send time, with `field` on a logarithmic scale. */
function requestPlot(values, field, title) {
  return {
    title,
    width: WIDTH,
    height: HEIGHT,
    data: {values: values.filter(value => value[field] > 0)},
    mark: {type: 'point', size: 14},
    encoding: {
      x: seconds('sentS'),
      y: {field, type: 'quantitative', title: 'ms', scale: {type: 'log'}},
      color: {field: 'kind', type: 'nominal'},
      shape: {field: 'outcome', type: 'nominal'},
    },
  };
}

function samplePlot(values, field, title) {
  return {
    title,
    width: WIDTH,
    height: HEIGHT,
    data: {values},
    mark: {type: 'line', interpolate: 'step-after'},
    encoding: {
      x: seconds('atS'),
      y: {field, type: 'quantitative', title: 'number'},
      color: {field: 'gateway', type: 'nominal'},
    },
  };
}

const {requests, samples} = JSON.parse(readFileSync(recordFile, 'utf8'));
const sent = requests.map(request => ({
  ...request,
  sentS: request.sentMs / 1_000,
}));
const sampled = samples.map(sample => ({
  ...sample,
  atS: sample.atMs / 1_000,
}));
const plots = [
  requestPlot(sent, 'firstPieceMs', 'time to the first piece'),
  requestPlot(sent, 'longestPauseMs', 'longest pause between pieces'),
  samplePlot(sampled, 'inFlight', 'requests in flight, by gateway'),
  samplePlot(sampled, 'aside', 'endpoints put aside, by gateway'),
];
const {spec} = compile({
  // An axis without values has no bounds.
  vconcat: plots.filter(({data}) => data.values.length > 0),
  resolve: {scale: {color: 'independent', shape: 'independent'}},
});
const view = new View(parse(spec), {renderer: 'none'});
writeFileSync(svgFile, await view.toSVG());
console.log(`written: ${svgFile}`);
