#pragma once

namespace sesameseam {

enum class EventHttpMethod
{
  Get,
  Post,
  Delete,
  Other,
};

}
