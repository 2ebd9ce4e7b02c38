#!/usr/bin/env python3
"""Fits and plots the measurements of the membership core. Uses the standard library only.

plot-control.py fit RUNS JSON    reads one run a line, adds the fits and predictions, writes JSON
plot-control.py plot JSON SVG    draws the plot from the JSON
"""
import json
import math
import sys

DESIGN_SIZE = 14000
FITTED_SIZES = (10, 30, 100)
# Each figure is fitted as a + b * x, with x the logarithm of the size or the size itself.
FIGURES = {
    'quiet.bytesPerSecond': 'log',
    'quiet.messagesPerSecond': 'log',
    'revision.bytesPerChange': 'log',
    'entry.bytesPerChange': 'log',
    'drain.bytesPerChange': 'log',
    'revision.seconds.max': 'log',
    'drain.seconds.max': 'log',
    'death.seconds.max': 'log',
    'memoryBytesPerBalancer': 'size',
    'coldStart.seconds': 'size',
}


def position(kind, size):
    return math.log(size) if kind == 'log' else float(size)


def fit_line(points):
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope


def fit(runs_path, json_path):
    with open(runs_path) as lines:
        runs = [json.loads(line) for line in lines]
    fleets = {int(run['result']['balancers']): run['result'] for run in runs
              if run['run'].startswith('fleet') and '--regions' not in run['run']}
    fits = {}
    for figure, kind in FIGURES.items():
        base, slope = fit_line([(position(kind, size), fleets[size][figure]) for size in FITTED_SIZES])
        predictions = {}
        for size in sorted(fleets):
            if size not in FITTED_SIZES:
                predicted = base + slope * position(kind, size)
                measured = fleets[size][figure]
                predictions[str(size)] = {'predicted': round(predicted, 4), 'measured': measured,
                                          'error': round(measured / predicted - 1, 3)}
        fits[figure] = {'kind': kind, 'base': round(base, 6), 'slope': round(slope, 6), 'check': predictions,
                        'atDesignSize': round(base + slope * position(kind, DESIGN_SIZE), 3)}
    with open(json_path, 'w') as out:
        json.dump({'runs': runs, 'fits': fits}, out, indent=1)
        out.write('\n')


def panel(out, left, top, title, series, kind, base, slope):
    width, height = 330, 200
    sizes = [size for size, _ in series] + [DESIGN_SIZE]
    low, high = math.log(min(sizes)), math.log(max(sizes))
    top_value = max([value for _, value in series] + [base + slope * position(kind, DESIGN_SIZE), 1e-9]) * 1.1

    def place(size, value):
        return (left + (math.log(size) - low) / (high - low) * width, top + height - value / top_value * height)

    out.append(f'<text x="{left}" y="{top - 8}" font-weight="bold">{title}</text>')
    out.append(f'<rect x="{left}" y="{top}" width="{width}" height="{height}" fill="none" stroke="#999"/>')
    line = []
    for step in range(41):
        size = math.exp(low + (high - low) * step / 40)
        x, y = place(size, max(0.0, base + slope * position(kind, size)))
        line.append(f'{x:.1f},{y:.1f}')
    out.append(f'<polyline points="{" ".join(line)}" fill="none" stroke="#c60" stroke-dasharray="5 3"/>')
    for size, value in series:
        x, y = place(size, value)
        fill = '#06c' if size in FITTED_SIZES else '#0a0'
        out.append(f'<circle cx="{x:.1f}" cy="{y:.1f}" r="4" fill="{fill}"/>')
        out.append(f'<text x="{x:.1f}" y="{top + height + 14}" text-anchor="middle">{size}</text>')
    x, y = place(DESIGN_SIZE, max(0.0, base + slope * position(kind, DESIGN_SIZE)))
    out.append(f'<text x="{x - 4:.1f}" y="{y + 16:.1f}" text-anchor="end">{base + slope * position(kind, DESIGN_SIZE):.4g}</text>')
    out.append(f'<text x="{x:.1f}" y="{top + height + 14}" text-anchor="middle">{DESIGN_SIZE}</text>')
    out.append(f'<text x="{left + 4}" y="{top + 14}">{top_value:.4g}</text>')


def plot(json_path, svg_path):
    with open(json_path) as source:
        data = json.load(source)
    fleets = {int(run['result']['balancers']): run['result'] for run in data['runs']
              if run['run'].startswith('fleet') and '--regions' not in run['run']}
    figures = list(FIGURES)
    rows = (len(figures) + 1) // 2
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="800" height="{rows * 260 + 50}" '
           'font-family="sans-serif" font-size="11">',
           '<rect width="100%" height="100%" fill="white"/>',
           '<text x="40" y="20">Per balancer against fleet size (log scale). Blue: fitted sizes. Green: measured to '
           'check the fit. Dashed: fit, up to the design size.</text>']
    for index, figure in enumerate(figures):
        series = sorted((size, result[figure]) for size, result in fleets.items())
        values = data['fits'][figure]
        panel(out, 40 + index % 2 * 390, 60 + index // 2 * 260, figure, series, values['kind'], values['base'],
              values['slope'])
    out.append('</svg>')
    with open(svg_path, 'w') as target:
        target.write('\n'.join(out) + '\n')


if __name__ == '__main__':
    if len(sys.argv) != 4 or sys.argv[1] not in ('fit', 'plot'):
        sys.exit(__doc__)
    (fit if sys.argv[1] == 'fit' else plot)(sys.argv[2], sys.argv[3])
